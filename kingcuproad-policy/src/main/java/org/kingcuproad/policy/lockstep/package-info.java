/**
 * Protocol and planner for changing the expert map of a model-server group whose ranks execute every forward pass in
 * lock-step.
 */
@NullMarked
package org.kingcuproad.policy.lockstep;

import org.jspecify.annotations.NullMarked;
