/** What the commands that ask a node's administration API share. */
import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import process from 'node:process';
import * as Flags from '@oclif/core/flags';
import type {Result} from 'neverthrow';
import {
	sendApiRequest,
	sendChange,
	type ApiRequest,
	type AdministrationTarget,
	type ClientError,
} from './administration-client.js';
import {BaseCommand} from './base-command.js';
import {exitCodes} from './exit-codes.js';

const defaultUrl = 'http://127.0.0.1:7400';

/** Where to ask, and as whom. A token never stands on the command line, where others see it. */
export const targetFlags = {
	administration: Flags.string({
		description: 'URL of the administration listener of any node',
		default: defaultUrl,
		env: 'FOXTAILTIDE_ADMINISTRATION',
	}),
	'token-file': Flags.string({
		description: 'file that holds the token; without it FOXTAILTIDE_TOKEN is read',
		env: 'FOXTAILTIDE_TOKEN_FILE',
	}),
	team: Flags.string({description: 'team, for a token that reaches every team'}),
};

/** What identifies a change. */
export const changeFlags = {
	'change-id': Flags.string({
		description: 'id of the change; send the same id again after a lost answer',
	}),
	'expected-version': Flags.integer({
		description: 'refuse the change unless this version is the newest',
		min: 0,
	}),
	by: Flags.string({description: 'name for the history; your user name when absent'}),
};

/** The parsed `targetFlags`. */
export type TargetFlagValues = {
	readonly administration: string;
	readonly 'token-file': string | undefined;
	readonly team: string | undefined;
};

/** The parsed `changeFlags`. */
export type ChangeFlagValues = {
	readonly 'change-id': string | undefined;
	readonly 'expected-version': number | undefined;
	readonly by: string | undefined;
};

export abstract class AdministrationCommand extends BaseCommand {
	static override enableJsonFlag = true;

	/**
	 * Asks the API; the command ends with a fitting exit code when it refuses.
	 *
	 * @param values where to ask, and as whom
	 * @param call the request
	 */
	protected async ask(values: TargetFlagValues, call: ApiRequest): Promise<unknown> {
		const target = this.createTarget(values);
		return this.unwrap(await sendApiRequest(target, {...call, team: values.team}));
	}

	/**
	 * Sends a change; a lost answer is resolved by sending it again.
	 *
	 * @param values where to ask, as whom, and what identifies the change
	 * @param call the change
	 */
	protected async change(
		values: TargetFlagValues & ChangeFlagValues,
		call: ApiRequest,
	): Promise<unknown> {
		const target = this.createTarget(values);
		const changeId = values['change-id'] ?? randomUUID();
		const headers = createChangeHeaders(values, changeId);
		const result = await sendChange(target, {
			...call,
			team: values.team,
			headers,
		});
		return this.unwrap(
			result.mapErr(error =>
				error.exitCode === exitCodes.unreachable
					? {
							...error,
							message: `${error.message}\nsend it again with --change-id ${changeId}`,
						}
					: error,
			),
		);
	}

	private createTarget(values: TargetFlagValues): AdministrationTarget {
		const url = URL.parse(values.administration);
		if (url === null) {
			return this.fail(
				exitCodes.badInput,
				`${values.administration} is no URL: write it like ${defaultUrl}`,
			);
		}

		return {url, token: this.readToken(values['token-file'])};
	}

	private readToken(file: string | undefined): string {
		if (file === undefined) {
			return process.env.FOXTAILTIDE_TOKEN ?? '';
		}

		return this.readText(file).trim();
	}

	private unwrap(result: Result<unknown, ClientError>): unknown {
		if (result.isErr()) {
			return this.fail(result.error.exitCode, result.error.message);
		}

		return result.value;
	}
}

function createChangeHeaders(
	values: ChangeFlagValues,
	changeId: string,
): Record<string, string> {
	const expected = values['expected-version'];
	return {
		'foxtailtide-change-id': changeId,
		'foxtailtide-operator': values.by ?? userInfo().username,
		...(expected === undefined ? {} : {'foxtailtide-expected-version': String(expected)}),
	};
}
