/** Routing and admission policies in virtual time against small models of upstreams. */
@NullMarked
package org.kingcuproad.experiment.routing;

import org.jspecify.annotations.NullMarked;
