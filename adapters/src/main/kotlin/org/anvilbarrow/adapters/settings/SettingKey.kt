package org.anvilbarrow.adapters.settings

/** One key of the settings file: where it stands, what it means and how its value is read. */
public class SettingKey<T : Any> internal constructor(
    /** Section, or a section name and `ID` for sections that are repeated. */
    public val section: String,
    public val name: String,
    public val unit: String,
    /** Value used if the key is absent, or null if the key is required. */
    public val default: String?,
    public val allowed: String,
    public val meaning: String,
    /** Returns null for a value that is not allowed. */
    internal val read: (String) -> T?,
)

/** A key with a whole number in [range]. */
internal fun number(
    section: String,
    name: String,
    unit: String,
    default: Int,
    range: IntRange,
    meaning: String,
): SettingKey<Int> =
    SettingKey(section, name, unit, "$default", "${range.first} to ${range.last}", meaning) { text ->
        text.toIntOrNull()?.takeIf { it in range }
    }
