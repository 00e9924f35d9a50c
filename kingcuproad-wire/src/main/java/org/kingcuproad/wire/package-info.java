/** Generated messages and services between the processes. */
@NullMarked
package org.kingcuproad.wire;

import org.jspecify.annotations.NullMarked;
