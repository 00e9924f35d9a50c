/** Policies as pure decision logic without I/O: routing, admission, claims, map switches and placement. */
@NullMarked
package org.kingcuproad.policy;

import org.jspecify.annotations.NullMarked;
