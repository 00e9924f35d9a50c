/** Admission of requests: deadlines, fair shares among workspaces, retries and hedges. */
@NullMarked
package org.kingcuproad.policy.admission;

import org.jspecify.annotations.NullMarked;
