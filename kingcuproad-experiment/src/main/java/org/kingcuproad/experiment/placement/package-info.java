/** Experiment that compares planners of expert placement in virtual time. */
@NullMarked
package org.kingcuproad.experiment.placement;

import org.jspecify.annotations.NullMarked;
