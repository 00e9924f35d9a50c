/** Agent daemon beside each upstream. */
@NullMarked
package org.kingcuproad.agent;

import org.jspecify.annotations.NullMarked;
