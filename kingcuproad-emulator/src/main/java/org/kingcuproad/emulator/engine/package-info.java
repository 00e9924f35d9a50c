/** Stand-in for a model engine. */
@NullMarked
package org.kingcuproad.emulator.engine;

import org.jspecify.annotations.NullMarked;
