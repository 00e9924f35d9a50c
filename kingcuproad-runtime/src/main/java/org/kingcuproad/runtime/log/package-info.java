/** Structured logs as JSON lines. */
@NullMarked
package org.kingcuproad.runtime.log;

import org.jspecify.annotations.NullMarked;
