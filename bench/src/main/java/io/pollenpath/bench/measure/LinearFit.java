package io.pollenpath.bench.measure;

/**
 * The least-squares line through a series of points.
 *
 * @param intercept the y value at x = 0
 * @param slope the change of y per unit of x
 * @param slopeError the standard error of the slope; 0 with fewer than three points
 */
record LinearFit(double intercept, double slope, double slopeError) {

    /**
     * Fits a line.
     *
     * @param x the x values
     * @param y the y values, as many
     * @return the line
     * @throws IllegalArgumentException if there are fewer than two points or the counts differ
     */
    static LinearFit of(double[] x, double[] y) {
        if (x.length != y.length || x.length < 2) {
            throw new IllegalArgumentException(
                    "expected at least two points and as many x values as y values");
        }
        double meanX = mean(x);
        double meanY = mean(y);
        double varianceX = 0;
        double covariance = 0;
        for (int i = 0; i < x.length; i++) {
            varianceX += (x[i] - meanX) * (x[i] - meanX);
            covariance += (x[i] - meanX) * (y[i] - meanY);
        }
        double slope = covariance / varianceX;
        double intercept = meanY - slope * meanX;
        return new LinearFit(
                intercept, slope, slopeStandardError(x, y, slope, intercept, varianceX));
    }

    private static double slopeStandardError(
            double[] x, double[] y, double slope, double intercept, double varianceX) {
        if (x.length < 3) {
            return 0;
        }
        double residuals = 0;
        for (int i = 0; i < x.length; i++) {
            double residual = y[i] - intercept - slope * x[i];
            residuals += residual * residual;
        }
        return Math.sqrt(residuals / (x.length - 2) / varianceX);
    }

    private static double mean(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum / values.length;
    }

    /** Returns the y value of the line at an x value. */
    double valueAt(double x) {
        return intercept + slope * x;
    }
}
