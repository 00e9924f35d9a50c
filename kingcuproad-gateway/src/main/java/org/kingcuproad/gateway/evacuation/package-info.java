/** Reads the evacuations that operators write to the store. */
@NullMarked
package org.kingcuproad.gateway.evacuation;

import org.jspecify.annotations.NullMarked;
