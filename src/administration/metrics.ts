/**
 * Metrics for Prometheus. Aggregates keep plain counters of their own; they are read only when
 * someone asks for the metrics, so that counting costs the call path nothing more.
 */
import {Counter, Gauge, Registry} from 'prom-client';

/** Reads plain numbers by name, in camel case. */
export type ReadMetricValues = () => Readonly<Record<string, number>>;

export type Metrics = {
	/** Adds counters that only rise, as `foxtailtide_AGGREGATE_NAME_total`. */
	readonly addCounters: (aggregate: string, read: ReadMetricValues) => void;
	/** Adds numbers that rise and fall, as `foxtailtide_AGGREGATE_NAME`. */
	readonly addGauges: (aggregate: string, read: ReadMetricValues) => void;
	/** Everything in the text format of Prometheus. */
	readonly read: () => Promise<string>;
};

/** Creates metrics without any aggregate. */
export function createMetrics(): Metrics {
	const registry = new Registry();
	return {
		addCounters(aggregate, read) {
			for (const name of Object.keys(read())) {
				const counter: Counter = new Counter({
					name: formatName(aggregate, `${name}Total`),
					help: `${aggregate}: ${name}`,
					registers: [registry],
					collect() {
						counter.reset();
						counter.inc(read()[name] ?? 0);
					},
				});
			}
		},
		addGauges(aggregate, read) {
			for (const name of Object.keys(read())) {
				const gauge: Gauge = new Gauge({
					name: formatName(aggregate, name),
					help: `${aggregate}: ${name}`,
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

function formatName(aggregate: string, name: string): string {
	const snakeCase = name.replaceAll(capitalLetter, letter => `_${letter.toLowerCase()}`);
	return `foxtailtide_${aggregate}_${snakeCase}`;
}

const capitalLetterPattern = '[A-Z]';
const capitalLetter = new RegExp(capitalLetterPattern, 'gv');
