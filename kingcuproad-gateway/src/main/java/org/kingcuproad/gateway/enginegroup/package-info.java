/** Connects the groups of engines, which agents report and requests reveal, with the rest of the gateway. */
@NullMarked
package org.kingcuproad.gateway.enginegroup;

import org.jspecify.annotations.NullMarked;
