/** Tracks the lock-step groups that engines form, and chooses the group that a request is sent to. */
@NullMarked
package org.kingcuproad.policy.enginegroup;

import org.jspecify.annotations.NullMarked;
