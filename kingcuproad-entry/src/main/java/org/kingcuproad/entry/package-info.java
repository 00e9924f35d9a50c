/** Entry daemon: callers, administration, routing. */
@NullMarked
package org.kingcuproad.entry;

import org.jspecify.annotations.NullMarked;
