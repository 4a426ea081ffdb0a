/**
 * Everything of a node that has to do with keys: its home, the way to other homes, the issuer,
 * and the closing row on a planned stop.
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {
	createWriteBudget,
	defaultFleetWritesPerSecond,
	type AddressedHome,
	type KeySecrets,
} from '../binding/index.js';
import type {Logger} from '../log/index.js';
import type {Membership} from '../membership/index.js';
import type {TableClient} from '../table/index.js';
import type {Settings} from '../settings/index.js';
import type {RunCall} from './call-runner.js';
import {createKeyBinder, type KeyBinder} from './key-binding.js';
import {createKeyHome, type KeyHome, type KeyHomeState} from './key-home.js';
import {createKeyEndpoint, createKeyIssuer, type KeyIssuer} from './key-issuer.js';
import {
	createEndedHomes,
	createKeyedCalls,
	type RunKeyedCall,
	type SendToHome,
} from './keyed-call.js';

export type NodeKeys = {
	/** Runs a call that must not repeat, wherever its home is. */
	readonly run: RunKeyedCall;
	/** Runs a keyed call whose home this node is said to be. */
	readonly runAtHome: KeyHome['run'];
	/** Issues single keys for operators; an error names the remedy. */
	readonly issueMany: (
		service: string,
		count: number,
	) => Result<readonly string[], {readonly message: string}>;
	/** Answers requests for keys; false when the request is for something else. */
	readonly handleKeyRequest: (
		request: IncomingMessage,
		response: ServerResponse,
	) => boolean;
	readonly state: () => KeyHomeState;
	/** Takes no new key, finishes those that run, and writes the closing row. */
	readonly close: () => Promise<void>;
};

type NodeKeysOptions = {
	readonly settings: Settings;
	readonly membership: Membership;
	readonly table: TableClient | undefined;
	readonly runCall: RunCall;
	readonly sendToHome: SendToHome;
	/** Milliseconds, monotonic. */
	readonly now: () => number;
	readonly log: Logger;
};

const incarnationBytes = 12;
const closingLimitMilliseconds = 5000;
const closingPauseMilliseconds = 250;

/**
 * Creates the parts and joins them.
 *
 * @param options the node around them
 * @returns the parts
 */
export function createNodeKeys(options: NodeKeysOptions): NodeKeys {
	const {settings, membership, table, runCall, log} = options;
	const wallClock = Date.now;
	const {nodeId, host, peerPort: port} = membership.self();
	const home: AddressedHome = {
		nodeId,
		host,
		port,
		incarnation: randomBytes(incarnationBytes).toString('base64url'),
	};
	const secrets = readSecrets(settings, log);
	const {keyLifetimeMilliseconds} = settings.binding;
	const keyHome = createKeyHome({home, runCall, wallClock});
	const binder = table && createBinder(options, table, home);
	const issue = createKeyIssuer({keyHome, secrets, wallClock, keyLifetimeMilliseconds});
	return {
		run: createKeyedCalls({
			keyHome,
			secrets,
			binder,
			endedHomes: createEndedHomes(),
			sendToHome: options.sendToHome,
		}),
		runAtHome: keyHome.run,
		issueMany: (service, count) => issueMany(issue, service, count),
		handleKeyRequest: createKeyEndpoint(issue),
		state: keyHome.state,
		async close() {
			const row = await keyHome.close();
			const until = options.now() + closingLimitMilliseconds;
			const isWritten = table
				? await writeClosing(table, row, () => options.now() < until)
				: false;
			log.info('key home closed', {...keyHome.state(), isWritten});
		},
	};
}

function issueMany(issue: KeyIssuer, service: string, count: number) {
	const documents = Array.from({length: count}, () => issue(service, false));
	const keys = documents.flatMap(document => document?.key ?? []);
	return keys.length === count
		? ok(keys)
		: err({message: 'this node is stopping: ask another node for keys'});
}

function createBinder(
	options: NodeKeysOptions,
	table: TableClient,
	home: AddressedHome,
): KeyBinder {
	const {settings, now} = options;
	const limits = {
		fleetWritesPerSecond: defaultFleetWritesPerSecond,
		members: Math.max(1, options.membership.all().length),
	};
	return createKeyBinder({
		home,
		table,
		budget: createWriteBudget(limits, now()),
		now,
		wallClock: Date.now,
		keyLifetimeMilliseconds: settings.binding.keyLifetimeMilliseconds,
	});
}

/** Without secrets from the settings a node can only verify the keys that it issued itself. */
function readSecrets(settings: Settings, log: Logger): KeySecrets {
	const [first, ...others] = settings.binding.keySecrets ?? [];
	if (first !== undefined) {
		return [first, ...others];
	}

	log.info('no key secrets in the settings: keys are good at this node only');
	return [Buffer.from(randomBytes(32)).toString('base64url')];
}

/** A row that stands already is this node's own: nobody else knows its incarnation. */
async function writeClosing(
	table: TableClient,
	row: {readonly key: string; readonly value: string},
	isInTime: () => boolean,
): Promise<boolean> {
	while (isInTime()) {
		// Each try follows the failure of the one before.
		// eslint-disable-next-line no-await-in-loop
		const written = await table.write(row.key, row.value, {kind: 'absent'});
		if (written.isOk() || written.error.kind === 'conflict') {
			return true;
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(closingPauseMilliseconds);
	}

	return false;
}
