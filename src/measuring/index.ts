/** Public surface of measuring: what a node may spend on knowing the load of servers. */
export {
	changeMeasuringPolicy,
	createMeasuringMeter,
	measuringUses,
	recordReceived,
	trySpend,
	type MeasuringCost,
	type MeasuringMeter,
	type MeasuringPolicy,
	type MeasuringUse,
} from './meter.js';
export {
	createSpendingWindow,
	recordAmount,
	remainingNow,
	trySpendAmount,
	type SpendingWindow,
} from './window.js';
