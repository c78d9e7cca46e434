package org.anvilbarrow.adapters.settings

import org.ini4j.Config
import org.ini4j.InvalidFileFormatException
import org.ini4j.spi.IniHandler
import org.ini4j.spi.IniParser
import java.io.Reader

/** One key of an INI file with its line; [value] is null if the key stands without `=`. */
internal data class IniEntry(
    val section: String,
    val key: String,
    val value: String?,
    val line: Int,
)

/** Entries of an INI file in order, and the line at which ini4j gave up, if it did. */
internal class IniEntries(
    text: String,
) : IniHandler {
    val entries = mutableListOf<IniEntry>()
    val sections = mutableMapOf<String, Int>()
    var brokenLine: Int? = null
        private set
    val lines = LineReader(text)
    private var section = ""

    init {
        val config =
            Config().apply {
                isEscape = false
                isEmptyOption = true
                isGlobalSection = false
            }
        try {
            IniParser.newInstance(config).parse(lines, this)
        } catch (_: InvalidFileFormatException) {
            brokenLine = lines.line
        }
    }

    override fun startIni(): Unit = Unit

    override fun endIni(): Unit = Unit

    override fun startSection(sectionName: String) {
        section = sectionName
        sections.putIfAbsent(sectionName, lines.line)
    }

    override fun endSection(): Unit = Unit

    override fun handleComment(comment: String?): Unit = Unit

    override fun handleOption(
        optionName: String,
        optionValue: String?,
    ) {
        entries += IniEntry(section, optionName, optionValue?.trim(), lines.line)
    }
}

/** Hands out one line per call, so that [line] is the line that ini4j is parsing; ini4j itself reports no lines. */
internal class LineReader(
    private val text: String,
) : Reader() {
    private var position = 0

    /** Number of lines handed out. */
    var line = 0
        private set

    override fun read(
        target: CharArray,
        offset: Int,
        length: Int,
    ): Int {
        if (position >= text.length) return -1
        val newline = text.indexOf('\n', position)
        val end = minOf(if (newline < 0) text.length else newline + 1, position + length)
        if (position == 0 || text[position - 1] == '\n') line++
        text.toCharArray(target, offset, position, end)
        return (end - position).also { position = end }
    }

    override fun close(): Unit = Unit
}
