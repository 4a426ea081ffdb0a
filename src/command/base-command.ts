/** Base class of all commands: exits with a message and an exit code, and reads files. */
import {readFileSync} from 'node:fs';
import {Command} from '@oclif/core/command';
import {exitCodes, type ExitCode} from './exit-codes.js';

export abstract class BaseCommand extends Command {
	/**
	 * Exits the command with an error.
	 *
	 * @param exitCode exit code for scripts
	 * @param message what happened, and the remedy
	 */
	protected fail(exitCode: ExitCode, message: string): never {
		this.error(message, {exit: exitCode});
	}

	/**
	 * Reads a file named by the user.
	 *
	 * @param file its path
	 * @returns its text; the command exits if the file cannot be read
	 */
	protected readText(file: string): string {
		try {
			return readFileSync(file, 'utf8');
		} catch (error) {
			return this.fail(
				exitCodes.badInput,
				`cannot read ${file} (${describeError(error)}): check the path and its permissions`,
			);
		}
	}
}

function describeError(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
