/** Immutable values shared by every module. */
@NullMarked
package org.kingcuproad.model;

import org.jspecify.annotations.NullMarked;
