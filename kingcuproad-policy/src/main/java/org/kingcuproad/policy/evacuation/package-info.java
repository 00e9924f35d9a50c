/** Decides which data centres get no requests because operators have evacuated them. */
@NullMarked
package org.kingcuproad.policy.evacuation;

import org.jspecify.annotations.NullMarked;
