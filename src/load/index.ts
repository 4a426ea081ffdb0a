/** Public interface of the load tool: experiments, their runs and their reports. */
export {
	findNonLoopbackTargets,
	parseExperiment,
	type Experiment,
	type Stream,
} from './experiment.js';
export {createRandom} from './random.js';
export {type StreamSummary} from './recorder.js';
export {formatHtmlReport, formatTextReport} from './report.js';
export {runExperiment, type RunReport} from './run.js';
export {scheduleArrivals, type Arrival} from './schedule.js';
