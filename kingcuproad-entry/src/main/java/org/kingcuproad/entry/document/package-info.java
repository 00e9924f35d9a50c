/** The environment document in force and the upstreams that the entry selects from it. */
@NullMarked
package org.kingcuproad.entry.document;

import org.jspecify.annotations.NullMarked;
