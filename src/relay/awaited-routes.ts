/**
 * Questions of other nodes for routes that this node lacks itself. They wait for a short time, so that the
 * routes reach the nodes behind this one at the moment when it has them.
 *
 * Load pattern: all nodes learn of a version at the same time, and few have its document.
 */

export type AwaitedRoutesOptions = {
	/** Version of the active routes; 0 without any. */
	readonly version: () => number;
	/** Resolves after a time in milliseconds. */
	readonly sleep: (milliseconds: number) => Promise<unknown>;
};

export type AwaitedRoutes = {
	/** Resolves once the routes are newer than a version, or after a time in milliseconds. */
	readonly wait: (newerThan: number, milliseconds: number) => Promise<void>;
	/** Whether no more questions may wait. */
	readonly isFull: () => boolean;
	/** Ends the wait of those whose routes have arrived. */
	readonly notify: () => void;
};

/** More than a region of the largest mesh asks of one node. */
const maximumWaiting = 256;

/**
 * Creates the list of waiting questions.
 *
 * @param options the active version, and the clock
 * @returns the list, empty
 */
export function createAwaitedRoutes(options: AwaitedRoutesOptions): AwaitedRoutes {
	const waiting = new Set<{readonly newerThan: number; readonly end: () => void}>();
	return {
		async wait(newerThan, milliseconds) {
			if (options.version() > newerThan) {
				return;
			}

			await new Promise<void>(resolve => {
				const entry = {
					newerThan,
					end() {
						waiting.delete(entry);
						resolve();
					},
				};
				waiting.add(entry);
				void options.sleep(milliseconds).then(entry.end);
			});
		},
		isFull: () => waiting.size >= maximumWaiting,
		notify() {
			for (const {newerThan, end} of waiting) {
				if (options.version() > newerThan) {
					end();
				}
			}
		},
	};
}
