/** The entry daemon: takes callers' requests, routes them to upstreams and serves the administration API. */
@NullMarked
package org.kingcuproad.entry;

import org.jspecify.annotations.NullMarked;
