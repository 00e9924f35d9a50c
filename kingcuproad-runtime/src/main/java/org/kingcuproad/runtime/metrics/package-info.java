/** Metrics and their text form. */
@NullMarked
package org.kingcuproad.runtime.metrics;

import org.jspecify.annotations.NullMarked;
