/** The environment document in force and the relays that spread it. */
@NullMarked
package org.kingcuproad.entry.document;

import org.jspecify.annotations.NullMarked;
