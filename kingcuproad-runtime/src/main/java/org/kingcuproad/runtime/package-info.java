/** Shell shared by the daemons: HTTP server, logging, metrics, tracing, mailboxes. */
@NullMarked
package org.kingcuproad.runtime;

import org.jspecify.annotations.NullMarked;
