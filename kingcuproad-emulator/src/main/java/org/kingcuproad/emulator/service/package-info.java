/** Stand-in for a plain service. */
@NullMarked
package org.kingcuproad.emulator.service;

import org.jspecify.annotations.NullMarked;
