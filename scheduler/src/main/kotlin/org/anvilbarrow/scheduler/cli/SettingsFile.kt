package org.anvilbarrow.scheduler.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import org.anvilbarrow.adapters.settings.SchedulerSettings
import org.anvilbarrow.adapters.settings.SettingFault
import org.anvilbarrow.adapters.settings.SettingsReader
import org.anvilbarrow.adapters.settings.SettingsResult
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Status of a program that was given settings it cannot use. */
internal const val BAD_SETTINGS_STATUS = 2

/** Reads the settings in [file], or prints every fault and ends the program. */
internal fun CliktCommand.readSettings(file: Path): SchedulerSettings =
    readSettings(file) { name, text -> SettingsReader(name, text).read() }

/** Passes the name and content of [file] to [read], or prints every fault and ends the program. */
internal fun <T> CliktCommand.readSettings(
    file: Path,
    read: (name: String, text: String) -> SettingsResult<T>,
): T =
    when (val result = read(file.toString(), readText(file))) {
        is SettingsResult.Valid -> result.settings
        is SettingsResult.Invalid -> rejectSettings(file, result.faults)
    }

/** Returns the content of [file], or ends the program. */
private fun CliktCommand.readText(file: Path): String =
    try {
        Files.readString(file)
    } catch (e: IOException) {
        echo("$file cannot be read as UTF-8 text: ${e.message}", err = true)
        throw ProgramResult(BAD_SETTINGS_STATUS)
    }

/** Prints [faults] of [file] and ends the program. */
private fun CliktCommand.rejectSettings(
    file: Path,
    faults: List<SettingFault>,
): Nothing {
    faults.forEach { echo(it, err = true) }
    echo("$file: ${faults.size} fault(s)", err = true)
    throw ProgramResult(BAD_SETTINGS_STATUS)
}
