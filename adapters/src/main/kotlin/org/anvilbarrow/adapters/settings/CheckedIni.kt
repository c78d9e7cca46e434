package org.anvilbarrow.adapters.settings

/**
 * Reads the values of [keys] from an INI file and collects every fault.
 *
 * A key whose section is `NAME ID` stands for all sections whose names begin with `NAME `.
 */
internal class CheckedIni(
    private val file: String,
    text: String,
    private val keys: List<SettingKey<*>>,
) {
    private val ini = IniEntries(text)
    private val collected = mutableListOf<SettingFault>()

    /** Sections of the file and their lines. */
    val sections: Map<String, Int> get() = ini.sections

    /** Everything that is wrong, in the order of the lines. */
    val faults: List<SettingFault> get() = collected.sortedBy { it.line }

    init {
        ini.brokenLine?.let { fault(it, "the line", "not readable", "[section], key = value, or ; comment") }
        rejectUnknown()
        rejectRepeated()
    }

    /** Returns the value of [key] in [section], or null after a fault was recorded. */
    fun <T : Any> value(
        key: SettingKey<T>,
        section: String = key.section,
    ): T? {
        val entry = ini.entries.firstOrNull { it.section == section && it.key == key.name }
        val text = if (entry == null) key.default else entry.value.orEmpty()
        val parsed = text?.let(key.read)
        if (parsed == null) {
            fault(entry?.line ?: missingLine(section), "[$section] ${key.name}", text, key.allowed)
        }
        return parsed
    }

    fun fault(
        line: Int,
        key: String,
        seen: String?,
        allowed: String,
    ) {
        collected += SettingFault(file, line, key, seen, allowed)
    }

    private fun missingLine(section: String): Int = ini.sections[section] ?: ini.lines.line

    private fun rejectUnknown() {
        val sections = keys.map { "[${it.section}]" }.distinct().joinToString()
        ini.entries.forEach { entry ->
            val known = keys.filter { it.covers(entry.section) }
            if (known.isEmpty()) {
                fault(entry.line, "[${entry.section}] ${entry.key}", entry.value, "sections $sections")
            } else if (known.none { it.name == entry.key }) {
                val names = known.joinToString { it.name }
                fault(entry.line, "[${entry.section}] ${entry.key}", entry.value, "keys $names")
            }
        }
    }

    private fun rejectRepeated() {
        ini.entries
            .groupBy { it.section to it.key }
            .values
            .flatMap { it.drop(1) }
            .forEach { fault(it.line, "[${it.section}] ${it.key}", it.value, "the key only once") }
    }

    private fun SettingKey<*>.covers(name: String): Boolean {
        val repeated = section.endsWith(REPEATED)
        return name == section || (repeated && name.startsWith(section.removeSuffix(REPEATED.trim())))
    }

    private companion object {
        /** End of the section name of a key that stands once for each id. */
        const val REPEATED = " ID"
    }
}
