import {createRequire} from 'node:module';
import type {Plot} from '../experiments/index.js';

// The type declarations of echarts 6.0.0 do not resolve with `moduleResolution: nodenext`; this type covers the functions in use.
type ChartLibrary = {
	init(element: null, theme: null, options: {renderer: 'svg'; ssr: true; width: number; height: number}): {
		setOption(option: Readonly<Record<string, unknown>>): void;
		renderToSVGString(): string;
		dispose(): void;
	};
};

const charts = createRequire(import.meta.url)('echarts') as ChartLibrary;
const size = {width: 800, height: 500};

/**
 * Renders a plot.
 *
 * @param plot - Lines, labels and title.
 * @returns An SVG document.
 */
export function renderPlot({
	title, xName, yName, xLabels, series,
}: Plot): string {
	const chart = charts.init(null, null, {renderer: 'svg', ssr: true, ...size});
	chart.setOption({
		animation: false,
		backgroundColor: '#fff',
		title: {text: title},
		legend: {bottom: 0},
		xAxis: xLabels ? {type: 'category', name: xName, data: xLabels} : {type: 'value', name: xName, scale: true},
		yAxis: {type: 'value', name: yName},
		series: series.map(({name, points}) => ({
			type: 'line', name, data: points, symbolSize: 6,
		})),
	});
	const svg = chart.renderToSVGString();
	chart.dispose();
	return svg;
}
