/** The kingcuproad binary. */
@NullMarked
package org.kingcuproad.daemon;

import org.jspecify.annotations.NullMarked;
