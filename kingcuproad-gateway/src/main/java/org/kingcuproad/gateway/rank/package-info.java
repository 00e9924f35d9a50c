/** The agent beside a model engine: reads its load and changes its expert map together with the agents of its group. */
@NullMarked
package org.kingcuproad.gateway.rank;

import org.jspecify.annotations.NullMarked;
