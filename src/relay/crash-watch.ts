/**
 * Tells a crash of the local server from a lost connection: after a crash the server accepts no connection. All
 * requests that ran when the first connection was lost count as running at the crash.
 */
import type {RelayCall} from './call.js';
import type {ReportedCrash} from './crash-quarantine.js';

export type CrashWatchOptions = {
	/** Whether the server accepts connections. */
	readonly isListening: () => Promise<boolean>;
	/** The requests at the server, by the keys of their attempts. */
	readonly listRunning: () => ReadonlyMap<string, RelayCall>;
	readonly recordCrash: (running: readonly RelayCall[]) => ReportedCrash;
	/** Called after a crash was recorded. */
	readonly onCrash: () => void;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
};

export type CrashWatch = {
	/** Checks after the connection of an attempt was lost; undefined if it did not run at a crash. */
	readonly check: (key: string) => Promise<ReportedCrash | undefined>;
	/** Records that the server answered a request that started at this monotonic time. */
	readonly recordAnswer: (startedAt: number) => void;
	/** Records that another server process has announced itself. */
	readonly recordNewProcess: () => void;
};

type KnownCrash = {
	readonly at: number;
	readonly running: ReadonlyMap<string, RelayCall>;
	readonly report: ReportedCrash;
};

/**
 * Creates the watch of a server that has not crashed.
 *
 * @param options how to look at the server, and what to do at a crash
 * @returns the watch
 */
export function createCrashWatch(options: CrashWatchOptions): CrashWatch {
	/** The last crash, until the server is back. */
	let crash: KnownCrash | undefined;
	let checking: Promise<void> | undefined;

	async function lookAtServer(): Promise<void> {
		const at = options.now();
		const running = options.listRunning();
		const isAlive = await options.isListening();
		checking = undefined;
		if (!isAlive) {
			crash = {at, running, report: options.recordCrash([...running.values()])};
			options.onCrash();
		}
	}

	return {
		async check(key) {
			if (crash === undefined) {
				checking ??= lookAtServer();
				await checking;
			}

			return crash?.running.has(key) ? crash.report : undefined;
		},
		recordAnswer(startedAt) {
			if (crash !== undefined && startedAt > crash.at) {
				crash = undefined;
			}
		},
		recordNewProcess() {
			crash = undefined;
		},
	};
}
