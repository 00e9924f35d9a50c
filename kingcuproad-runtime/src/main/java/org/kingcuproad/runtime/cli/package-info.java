/** Command lines of the programs: help, and messages about mistakes that name what was probably meant. */
@NullMarked
package org.kingcuproad.runtime.cli;

import org.jspecify.annotations.NullMarked;
