/** Public surface of the repeat budget. */
export {
	countFirst,
	createRepeatBudget,
	trySpendRepeat,
	type RepeatBudget,
	type RepeatPolicy,
} from './repeat-budget.js';
