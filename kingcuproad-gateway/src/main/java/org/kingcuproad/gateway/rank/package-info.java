/**
 * Agent that runs beside a model engine: it reads the engine's state and expert counters, and changes the expert map
 * together with the agents of the other ranks of its group.
 */
@NullMarked
package org.kingcuproad.gateway.rank;

import org.jspecify.annotations.NullMarked;
