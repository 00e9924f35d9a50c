/** Settings and environment documents: parsing, checking, canonical form. */
@NullMarked
package org.kingcuproad.config;

import org.jspecify.annotations.NullMarked;
