/** Admission, dispatch and retry of callers' requests. */
@NullMarked
package org.kingcuproad.entry.request;

import org.jspecify.annotations.NullMarked;
