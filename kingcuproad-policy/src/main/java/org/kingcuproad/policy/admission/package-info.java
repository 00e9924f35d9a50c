/** Admission control: deadlines, fair queueing among workspaces, and budgets for retries and hedges. */
@NullMarked
package org.kingcuproad.policy.admission;

import org.jspecify.annotations.NullMarked;
