/** Choice of an upstream for each request, from lagging load reports and prefix affinity. */
@NullMarked
package org.kingcuproad.policy.routing;

import org.jspecify.annotations.NullMarked;
