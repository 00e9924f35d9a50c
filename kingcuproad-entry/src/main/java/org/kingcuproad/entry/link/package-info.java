/** Connections from the entry to the agents. */
@NullMarked
package org.kingcuproad.entry.link;

import org.jspecify.annotations.NullMarked;
