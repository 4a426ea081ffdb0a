/** What every command shares: how it fails, and how it prints for people and for scripts. */
import {readFileSync} from 'node:fs';
import {Command} from '@oclif/core/command';
import {exitCodes, type ExitCode} from './exit-codes.js';

export abstract class BaseCommand extends Command {
	/**
	 * Ends the command.
	 *
	 * @param exitCode what a script reads
	 * @param message what happened and how to mend it
	 */
	protected fail(exitCode: ExitCode, message: string): never {
		this.error(message, {exit: exitCode});
	}

	/**
	 * Reads a file that the user named.
	 *
	 * @param file its path
	 * @returns its text; the command ends when it cannot be read
	 */
	protected readText(file: string): string {
		try {
			return readFileSync(file, 'utf8');
		} catch (error) {
			return this.fail(
				exitCodes.badInput,
				`cannot read ${file} (${describe(error)}): check the path and its permissions`,
			);
		}
	}
}

function describe(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
