package org.anvilbarrow.adapters.settings

/** One thing that is wrong in a settings file. */
public data class SettingFault(
    val file: String,
    /** Line of the key, or of the end of the file for a key that is missing. */
    val line: Int,
    /** Section and key, as `[caller] address`. */
    val key: String,
    /** The value that was seen, or null if there was none. */
    val seen: String?,
    val allowed: String,
) {
    override fun toString(): String = "$file:$line: $key is ${seen?.let { "'$it'" } ?: "missing"}; allowed: $allowed"
}

/** Result of reading settings. */
public sealed interface SettingsResult<out T> {
    /** The settings can be used. */
    public data class Valid<T>(
        val settings: T,
    ) : SettingsResult<T>

    /** The settings cannot be used; [faults] holds everything that is wrong. */
    public data class Invalid(
        val faults: List<SettingFault>,
    ) : SettingsResult<Nothing>
}
