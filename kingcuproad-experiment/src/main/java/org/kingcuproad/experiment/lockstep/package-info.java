/** Gateways before a group of model engines in lock-step, in virtual time: queueing, refusing and choosing ranks. */
@NullMarked
package org.kingcuproad.experiment.lockstep;

import org.jspecify.annotations.NullMarked;
