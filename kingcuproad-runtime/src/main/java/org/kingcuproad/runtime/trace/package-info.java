/** Traces with a span for each hop. */
@NullMarked
package org.kingcuproad.runtime.trace;

import org.jspecify.annotations.NullMarked;
