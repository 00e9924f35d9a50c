/** Spread of environment documents and VM lists: the relays of each data centre watch the store, others subscribe. */
@NullMarked
package org.kingcuproad.relay;

import org.jspecify.annotations.NullMarked;
