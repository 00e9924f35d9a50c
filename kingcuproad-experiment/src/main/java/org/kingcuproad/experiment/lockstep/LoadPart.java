package org.kingcuproad.experiment.lockstep;

/**
 * Requests of one kind and workspace that arrive independently of one another.
 *
 * @param kind their kind
 * @param workspace their workspace
 * @param perSecond mean number a second
 * @param fromMs time of the first, in milliseconds
 * @param untilMs time after the last, in milliseconds
 */
record LoadPart(CallerKind kind, String workspace, double perSecond, double fromMs, double untilMs) {}
