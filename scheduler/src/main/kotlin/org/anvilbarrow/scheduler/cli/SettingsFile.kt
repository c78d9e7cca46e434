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

/** Exit status for a settings file that is unreadable or invalid. */
internal const val BAD_SETTINGS_STATUS = 2

/** Reads the settings in [file]; prints every fault and exits if there are any. */
internal fun CliktCommand.readSettings(file: Path): SchedulerSettings =
    readSettings(file) { name, text -> SettingsReader(name, text).read() }

/** Passes the name and content of [file] to [read]; prints every fault and exits if there are any. */
internal fun <T> CliktCommand.readSettings(
    file: Path,
    read: (name: String, text: String) -> SettingsResult<T>,
): T =
    when (val result = read(file.toString(), readText(file))) {
        is SettingsResult.Valid -> result.settings
        is SettingsResult.Invalid -> rejectSettings(file, result.faults)
    }

private fun CliktCommand.readText(file: Path): String =
    try {
        Files.readString(file)
    } catch (e: IOException) {
        echo("$file cannot be read as UTF-8 text: ${e.message}", err = true)
        throw ProgramResult(BAD_SETTINGS_STATUS)
    }

private fun CliktCommand.rejectSettings(
    file: Path,
    faults: List<SettingFault>,
): Nothing {
    faults.forEach { echo(it, err = true) }
    echo("$file: ${faults.size} fault(s)", err = true)
    throw ProgramResult(BAD_SETTINGS_STATUS)
}
