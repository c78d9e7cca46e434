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
internal fun CliktCommand.readSettings(file: Path): SchedulerSettings {
    when (val result = SettingsReader(file.toString(), readText(file)).read()) {
        is SettingsResult.Valid -> return result.settings
        is SettingsResult.Invalid -> rejectSettings(file, result.faults)
    }
}

/** Returns the content of [file], or ends the program. */
internal fun CliktCommand.readText(file: Path): String =
    try {
        Files.readString(file)
    } catch (e: IOException) {
        echo("$file cannot be read as UTF-8 text: ${e.message}", err = true)
        throw ProgramResult(BAD_SETTINGS_STATUS)
    }

/** Prints [faults] of [file] and ends the program. */
internal fun CliktCommand.rejectSettings(
    file: Path,
    faults: List<SettingFault>,
): Nothing {
    faults.forEach { echo(it, err = true) }
    echo("$file: ${faults.size} fault(s)", err = true)
    throw ProgramResult(BAD_SETTINGS_STATUS)
}
