/** The gateway process: a proxy that forwards client requests directly to discovered upstreams. */
@NullMarked
package org.kingcuproad.gateway;

import org.jspecify.annotations.NullMarked;
