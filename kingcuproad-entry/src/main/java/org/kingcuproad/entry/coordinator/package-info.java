/** Coordinates expert map switches for the groups whose lease this entry holds. */
@NullMarked
package org.kingcuproad.entry.coordinator;

import org.jspecify.annotations.NullMarked;
