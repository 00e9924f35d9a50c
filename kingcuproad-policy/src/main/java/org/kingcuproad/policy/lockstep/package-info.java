/** Changes of the expert map of a group whose ranks execute every pass together. */
@NullMarked
package org.kingcuproad.policy.lockstep;

import org.jspecify.annotations.NullMarked;
