/** The gateway process: takes requests of callers and sends them straight to upstreams found by discovery. */
@NullMarked
package org.kingcuproad.gateway;

import org.jspecify.annotations.NullMarked;
