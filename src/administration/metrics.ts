/**
 * Metrics for Prometheus. Subsystems keep plain counters of their own, which are read only when
 * the metrics are scraped, so that counting adds no further cost to the call path.
 */
import {Counter, Gauge, Registry} from 'prom-client';

/** Returns the current values of metrics by name, in camel case. */
export type ReadMetricValues = () => Readonly<Record<string, number>>;

export type Metrics = {
	/** Adds counters, named `foxtailtide_SUBSYSTEM_NAME_total`. */
	readonly addCounters: (subsystem: string, read: ReadMetricValues) => void;
	/** Adds gauges, named `foxtailtide_SUBSYSTEM_NAME`. */
	readonly addGauges: (subsystem: string, read: ReadMetricValues) => void;
	/** Returns all metrics in the Prometheus text format. */
	readonly read: () => Promise<string>;
};

/** Creates an empty set of metrics. */
export function createMetrics(): Metrics {
	const registry = new Registry();
	return {
		addCounters(subsystem, read) {
			for (const name of Object.keys(read())) {
				const counter: Counter = new Counter({
					name: formatName(subsystem, `${name}Total`),
					help: `${subsystem}: ${name}`,
					registers: [registry],
					collect() {
						counter.reset();
						counter.inc(read()[name] ?? 0);
					},
				});
			}
		},
		addGauges(subsystem, read) {
			for (const name of Object.keys(read())) {
				const gauge: Gauge = new Gauge({
					name: formatName(subsystem, name),
					help: `${subsystem}: ${name}`,
					registers: [registry],
					collect() {
						gauge.set(read()[name] ?? 0);
					},
				});
			}
		},
		read: async () => registry.metrics(),
	};
}

function formatName(subsystem: string, name: string): string {
	const snakeCase = name.replaceAll(capitalLetter, letter => `_${letter.toLowerCase()}`);
	return `foxtailtide_${subsystem}_${snakeCase}`;
}

const capitalLetterPattern = '[A-Z]';
const capitalLetter = new RegExp(capitalLetterPattern, 'gv');
